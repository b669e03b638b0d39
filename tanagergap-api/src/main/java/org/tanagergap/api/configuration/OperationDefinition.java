package org.tanagergap.api.configuration;

/**
 * Group of calls of a plain service.
 *
 * @param method HTTP method
 * @param pathPrefix first part of the path, starting with a slash
 * @param idempotent true if a call may run more than once
 */
public record OperationDefinition(String method, String pathPrefix, boolean idempotent) {

    /**
     * Returns true if the call belongs to this group; the prefix must end at a slash, a query or
     * the end of the path.
     */
    public boolean matches(String callMethod, String callPath) {
        if (!method.equals(callMethod) || !callPath.startsWith(pathPrefix)) {
            return false;
        }
        if (pathPrefix.endsWith("/") || callPath.length() == pathPrefix.length()) {
            return true;
        }
        char next = callPath.charAt(pathPrefix.length());
        return next == '/' || next == '?';
    }
}
