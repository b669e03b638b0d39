package org.tanagergap.api.finding;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when input is refused, with all findings. */
public final class InvalidInputException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final transient List<Finding> mFindings;

    public InvalidInputException(List<Finding> findings) {
        super(findings.stream().map(Finding::toString).collect(Collectors.joining("; ")));
        mFindings = List.copyOf(findings);
    }

    public List<Finding> findings() {
        return mFindings;
    }
}
