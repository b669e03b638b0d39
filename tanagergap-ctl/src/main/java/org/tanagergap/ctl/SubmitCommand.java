package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.bash.BashCompletion;
import com.github.rvesse.airline.help.cli.bash.CompletionBehaviour;
import java.util.Optional;
import java.util.UUID;
import org.tanagergap.document.ConfigurationDocument;
import org.tanagergap.state.configuration.ConfigurationStore;
import org.tanagergap.state.configuration.StoredConfiguration;
import org.tanagergap.state.configuration.SubmitResult;

/** Submits a document and reports the outcome. */
@Command(name = "submit", description = "Submits a document")
public final class SubmitCommand extends CtlCommand {

    @BashCompletion(behaviour = CompletionBehaviour.FILENAMES)
    @Arguments(title = "FILE", description = "Document to submit, or - for standard input")
    String mFile;

    @Option(
            name = "--base-version",
            title = "version",
            description = "Version that the document is an edit of (default: the current one)")
    String mBaseVersion;

    @Override
    int execute() {
        String document = readFile(mFile);
        ConfigurationDocument.parse(document, 0);
        Optional<Long> requestedBase =
                reader().optionalText("--base-version", mBaseVersion)
                        .map(
                                text ->
                                        reader().number(
                                                        "--base-version",
                                                        text,
                                                        null,
                                                        0,
                                                        Long.MAX_VALUE));
        ConfigurationStore store = store();
        Optional<StoredConfiguration> current =
                await(store.read(), "reading the current configuration");
        long base =
                requestedBase.orElseGet(() -> current.map(StoredConfiguration::version).orElse(0L));
        String nonce = UUID.randomUUID().toString();
        // Printed first, so that the outcome can be queried even if this process is terminated.
        printMessage("nonce " + nonce);
        SubmitResult result = submit(store, document, base, nonce);
        Optional<String> baseText =
                current.filter(stored -> stored.version() == base)
                        .map(StoredConfiguration::document);
        return new SubmissionReport(this::print).print(result, baseText, Optional.of(document));
    }

    private static SubmitResult submit(
            ConfigurationStore store, String document, long base, String nonce) {
        try {
            return await(store.submit(document, base, nonce), "the submission");
        } catch (CommandFailedException e) {
            // The write may have taken effect, so the result must be "unresolved".
            return new SubmitResult.Unresolved(nonce, e.getMessage());
        }
    }
}
