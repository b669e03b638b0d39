package org.tanagergap.ctl;

import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.document.ConfigurationChange;
import org.tanagergap.document.ConfigurationDiff;
import org.tanagergap.state.configuration.StoredConfiguration;
import org.tanagergap.state.configuration.SubmitResult;

/** Prints the outcome of a submission. */
final class SubmissionReport {

    private final BiConsumer<JsonObject, String> mPrint;

    SubmissionReport(BiConsumer<JsonObject, String> print) {
        mPrint = print;
    }

    /**
     * Prints the result and returns the exit status.
     *
     * @param base document that the operator edited, if known
     * @param submitted document that was submitted, if known
     */
    int print(SubmitResult result, Optional<String> base, Optional<String> submitted) {
        if (result instanceof SubmitResult.Accepted accepted) {
            mPrint.accept(
                    json("accepted").put("version", accepted.version()),
                    "accepted as version " + accepted.version());
            return CtlExitStatus.DONE;
        }
        if (result instanceof SubmitResult.Conflict conflict) {
            printConflict(conflict.current(), base, submitted);
            return CtlExitStatus.CONFLICT;
        }
        if (result instanceof SubmitResult.Unresolved unresolved) {
            mPrint.accept(
                    json("unresolved")
                            .put("nonce", unresolved.nonce())
                            .put("message", unresolved.reason()),
                    String.format(
                            "unresolved: %s%nask later: tanagergap-ctl outcome %s",
                            unresolved.reason(), unresolved.nonce()));
            return CtlExitStatus.UNRESOLVED;
        }
        String reason = ((SubmitResult.Rejected) result).reason();
        mPrint.accept(json("rejected").put("message", reason), "rejected: " + reason);
        return CtlExitStatus.FAILED;
    }

    private void printConflict(
            StoredConfiguration current, Optional<String> base, Optional<String> submitted) {
        // Without the base, the difference between the accepted and the submitted document is the
        // best available description of what the operator must merge.
        String compared = base.isPresent() ? "base_to_current" : "current_to_submitted";
        List<ConfigurationChange> changes =
                base.map(text -> changes(text, current.document()))
                        .or(() -> submitted.map(text -> changes(current.document(), text)))
                        .orElse(List.of());
        String heading =
                base.isPresent()
                        ? "changed since the base version:"
                        : "from the accepted to the submitted document:";
        String text =
                String.format("conflict: version %d was accepted first", current.version())
                        + (base.isPresent() || submitted.isPresent()
                                ? String.format(
                                        "%n%s%n%s", heading, ResultFormatter.changesText(changes))
                                : "");
        mPrint.accept(
                json("conflict")
                        .put("version", current.version())
                        .put("compared", compared)
                        .put("changes", ResultFormatter.changes(changes)),
                text);
    }

    /** A malformed stored document must not hide that there is a conflict. */
    private static List<ConfigurationChange> changes(String before, String after) {
        try {
            return ConfigurationDiff.between(before, after);
        } catch (InvalidInputException e) {
            return List.of();
        }
    }

    private static JsonObject json(String result) {
        return new JsonObject().put("result", result);
    }
}
