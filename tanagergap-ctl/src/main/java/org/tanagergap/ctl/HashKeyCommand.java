package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import io.vertx.core.json.JsonObject;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.document.KeyHashing;
import org.tanagergap.document.NewKey;

/** Generates a bearer key with a random secret and its salted hash. */
@Command(
        name = "hash-key",
        description = "Makes a random key; prints its text once and its entry for the document")
public final class HashKeyCommand extends CtlCommand {

    @Arguments(title = "ID", description = "Public part of the key")
    String mId;

    @Override
    int execute() {
        NewKey key = KeyHashing.create(mId == null ? "" : mId);
        KeyDefinition definition = key.definition();
        JsonObject entry =
                new JsonObject()
                        .put("id", definition.id())
                        .put("salt", definition.salt())
                        .put("hash", definition.hash());
        String setting = String.join(":", definition.id(), definition.salt(), definition.hash());
        print(
                new JsonObject()
                        .put("key", key.text())
                        .put("entry", entry)
                        .put("operator_key", setting),
                String.format(
                        "key (shown only now): %s%nentry for \"keys\": %s%n--operator-key: %s",
                        key.text(), entry.encode(), setting));
        return CtlExitStatus.DONE;
    }
}
