package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.bash.BashCompletion;
import com.github.rvesse.airline.help.cli.bash.CompletionBehaviour;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.document.ConfigurationChange;
import org.tanagergap.document.ConfigurationDiff;
import org.tanagergap.document.ConfigurationDocument;
import org.tanagergap.state.configuration.StoredConfiguration;

/** Lists the differences between the accepted document and another one. */
@Command(name = "diff", description = "Lists what a document changes in the accepted one")
public final class DiffCommand extends CtlCommand {

    @BashCompletion(behaviour = CompletionBehaviour.FILENAMES)
    @Arguments(title = "FILE", description = "Document to compare, or - for standard input")
    String mFile;

    @Override
    int execute() {
        String document = readFile(mFile);
        ConfigurationDocument.parse(document, 0);
        Optional<StoredConfiguration> current =
                await(store().read(), "reading the current configuration");
        String accepted =
                current.map(StoredConfiguration::document)
                        .orElseGet(() -> ConfigurationDocument.write(Configuration.EMPTY));
        List<ConfigurationChange> changes = ConfigurationDiff.between(accepted, document);
        print(
                new JsonObject()
                        .put("version", current.map(StoredConfiguration::version).orElse(0L))
                        .put("changes", ResultFormatter.changes(changes)),
                ResultFormatter.changesText(changes));
        return CtlExitStatus.DONE;
    }
}
