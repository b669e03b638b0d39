package org.tanagergap.gateway.caller;

/** Serves a request that the configuration allows. */
@FunctionalInterface
public interface CallerHandler {

    /** Serves the request and ends the exchange. */
    void serve(CallerExchange exchange, GatewayRequest request);
}
