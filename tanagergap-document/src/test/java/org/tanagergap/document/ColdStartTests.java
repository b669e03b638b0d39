package org.tanagergap.document;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.api.finding.InvalidInputException;

/** Guards against frames of code that is not compiled yet, which need more stack than later. */
class ColdStartTests {

    @TempDir Path mDirectory;

    /** Parses and compares nested documents; ends with status 0 if nothing else than findings. */
    static final class Parsing {

        private Parsing() {}

        public static void main(String[] args) {
            int depth = Integer.parseInt(args[0]);
            String objects = "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
            String arrays = "[".repeat(depth) + "]".repeat(depth);
            for (String text :
                    new String[] {
                        objects,
                        arrays,
                        "{\"services\":" + arrays + "}",
                        "{\"upstreams\":[" + objects + "]}"
                    }) {
                try {
                    ConfigurationDocument.parse(text, 1);
                    System.exit(2);
                } catch (InvalidInputException e) {
                    System.out.println(e.findings().size() + " findings");
                }
                try {
                    ConfigurationDiff.between(text, "{}");
                } catch (InvalidInputException e) {
                    System.out.println(e.findings().size() + " findings");
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {62, 64, 500, 990, 5_000})
    void aNestedDocumentHasFindingsInAProcessThatHasJustStarted(int depth) throws Exception {
        Process process = start(Parsing.class, Integer.toString(depth));
        boolean ended = process.waitFor(60, TimeUnit.SECONDS);
        if (!ended) {
            process.destroyForcibly();
        }
        String output = Files.readString(mDirectory.resolve("output"));
        assertWithMessage(output).that(ended).isTrue();
        assertWithMessage(output).that(process.exitValue()).isEqualTo(0);
    }

    private Process start(Class<?> main, String argument) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xss256k",
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        main.getName(),
                        argument)
                .redirectErrorStream(true)
                .redirectOutput(mDirectory.resolve("output").toFile())
                .start();
    }
}
