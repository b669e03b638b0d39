package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.state.configuration.ConfigurationStore;
import org.tanagergap.state.configuration.SubmitResult;

/** Reports the outcome of an earlier submission. */
@Command(name = "outcome", description = "Tells what became of an earlier submission")
public final class OutcomeCommand extends CtlCommand {

    @Arguments(title = "NONCE", description = "Nonce that the submission printed")
    String mNonce;

    @Override
    int execute() {
        if (mNonce == null || mNonce.isBlank()) {
            throw invalidArgument("NONCE", "is required; expected the nonce of a submission");
        }
        SubmitResult result;
        try {
            result = await(outcome(), "asking for the outcome");
        } catch (CommandFailedException e) {
            // A failed query says nothing about the submission, so it remains unresolved.
            result = new SubmitResult.Unresolved(mNonce, e.getMessage());
        }
        return new SubmissionReport(this::print).print(result, Optional.empty(), Optional.empty());
    }

    private CompletableFuture<SubmitResult> outcome() {
        ConfigurationStore store = store();
        try {
            return store.outcome(mNonce);
        } catch (IllegalArgumentException e) {
            throw invalidArgument("NONCE", e.getMessage());
        }
    }
}
