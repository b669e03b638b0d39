package org.tanagergap.standins.keyvalue;

/** Refusal of a call, which then has no effect; carries the status of the JSON gateway. */
public final class RefusedCallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final int mHttpStatus;
    private final int mGrpcCode;

    private RefusedCallException(int httpStatus, int grpcCode, String message) {
        super(message);
        mHttpStatus = httpStatus;
        mGrpcCode = grpcCode;
    }

    /** The call is malformed or exceeds a limit. */
    public static RefusedCallException invalid(String message) {
        return new RefusedCallException(400, 3, message);
    }

    /** The call names a lease that does not exist. */
    public static RefusedCallException leaseNotFound() {
        return new RefusedCallException(404, 5, "etcdserver: requested lease not found");
    }

    /** The call exceeds the rate limit. */
    public static RefusedCallException tooManyRequests() {
        return new RefusedCallException(429, 8, "etcdserver: too many requests");
    }

    public int httpStatus() {
        return mHttpStatus;
    }

    public int grpcCode() {
        return mGrpcCode;
    }
}
