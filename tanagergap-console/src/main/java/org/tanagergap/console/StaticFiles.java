package org.tanagergap.console;

import io.vertx.core.buffer.Buffer;
import io.vertx.ext.web.Router;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Map;

/** Serves the pages from memory, because instances have no disk for a static file cache. */
final class StaticFiles {

    private static final Map<String, String> CONTENT_TYPES =
            Map.of(
                    "index.html", "text/html; charset=utf-8",
                    "console.css", "text/css; charset=utf-8",
                    "console.js", "text/javascript; charset=utf-8",
                    "api.js", "text/javascript; charset=utf-8",
                    "fields.js", "text/javascript; charset=utf-8",
                    "forms.js", "text/javascript; charset=utf-8",
                    "results.js", "text/javascript; charset=utf-8");

    void mount(Router router) {
        CONTENT_TYPES.forEach(
                (name, contentType) -> {
                    Buffer content = load(name);
                    String path = name.equals("index.html") ? "/" : "/" + name;
                    router.get(path)
                            .handler(
                                    context ->
                                            context.response()
                                                    .putHeader("Content-Type", contentType)
                                                    .end(content));
                });
    }

    private static Buffer load(String name) {
        try (InputStream content = StaticFiles.class.getResourceAsStream("web/" + name)) {
            return Buffer.buffer(content.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(name + " in the jar could not be read", e);
        }
    }
}
