package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.tanagergap.state.configuration.StoredConfiguration;

/** Prints the accepted configuration document. */
@Command(name = "show", description = "Prints the accepted document, and its version on stderr")
public final class ShowCommand extends CtlCommand {

    @Override
    int execute() {
        Optional<StoredConfiguration> current =
                await(store().read(), "reading the current configuration");
        if (current.isEmpty()) {
            return fail("no configuration has been accepted");
        }
        printMessage("version " + current.get().version());
        print(
                new JsonObject()
                        .put("version", current.get().version())
                        .put("document", document(current.get().document())),
                current.get().document().stripTrailing());
        return CtlExitStatus.DONE;
    }

    /** Returns the document as JSON, or its text if another writer has stored a malformed one. */
    private static Object document(String text) {
        try {
            return new JsonObject(text);
        } catch (DecodeException e) {
            return text;
        }
    }
}
