package org.tanagergap.gateway.caller;

/** Serves requests that the configuration allows. */
@FunctionalInterface
public interface CallerHandler {

    /** Serves the request and ends the exchange. */
    void serve(CallerExchange exchange, GatewayRequest request);
}
