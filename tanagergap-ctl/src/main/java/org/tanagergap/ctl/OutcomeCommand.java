package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.state.configuration.ConfigurationStore;
import org.tanagergap.state.configuration.SubmitResult;

/** Reports what became of an earlier submission. */
@Command(name = "outcome", description = "Tells what became of an earlier submission")
public final class OutcomeCommand extends CtlCommand {

    @Arguments(title = "NONCE", description = "Nonce that the submission printed")
    String mNonce;

    @Override
    int execute() {
        if (mNonce == null || mNonce.isBlank()) {
            reader().reject("NONCE", "is required; expected the nonce of a submission");
        }
        SubmitResult result = await(outcome(), "asking for the outcome");
        return new SubmissionReport(this::print).print(result, Optional.empty(), Optional.empty());
    }

    private CompletableFuture<SubmitResult> outcome() {
        ConfigurationStore store = store();
        try {
            return store.outcome(mNonce);
        } catch (IllegalArgumentException e) {
            reader().reject("NONCE", e.getMessage());
            throw new InvalidInputException(reader().findings().toList());
        }
    }
}
