package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.bash.BashCompletion;
import com.github.rvesse.airline.help.cli.bash.CompletionBehaviour;
import io.vertx.core.json.JsonObject;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.document.ConfigurationDocument;

/** Validates a document locally, without contacting any process. */
@Command(name = "validate", description = "Checks a document and lists every finding")
public final class ValidateCommand extends CtlCommand {

    @BashCompletion(behaviour = CompletionBehaviour.FILENAMES)
    @Arguments(title = "FILE", description = "Document to check, or - for standard input")
    String mFile;

    @Override
    int execute() {
        Configuration configuration = ConfigurationDocument.parse(readFile(mFile), 0);
        int services = configuration.services().size();
        int workspaces = configuration.workspaces().size();
        int ranks = configuration.ranks().size();
        int upstreams = configuration.upstreams().size();
        print(
                new JsonObject()
                        .put("result", "valid")
                        .put("services", services)
                        .put("workspaces", workspaces)
                        .put("ranks", ranks)
                        .put("upstreams", upstreams),
                String.format(
                        "valid: %d services, %d workspaces, %d ranks, %d upstreams",
                        services, workspaces, ranks, upstreams));
        return CtlExitStatus.DONE;
    }
}
