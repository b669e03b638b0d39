package org.tanagergap.runtime.http;

import java.io.IOException;

/** Reports that an upstream has sent something that is not a valid response. */
public final class InvalidResponseException extends IOException {

    private static final long serialVersionUID = 1;

    public InvalidResponseException(String fault) {
        super(fault);
    }
}
