package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.bash.BashCompletion;
import com.github.rvesse.airline.help.cli.bash.CompletionBehaviour;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Explains from log files which upstreams a request was sent to and how it ended. */
@Command(
        name = "explain",
        description =
                "Tells from the logs of entries and agents where a request went and why it ended as"
                        + " it did")
public final class ExplainCommand extends CtlCommand {

    @BashCompletion(behaviour = CompletionBehaviour.FILENAMES)
    @Arguments(
            title = {"REQUEST_ID", "FILE"},
            description = "Identifier of the request, then log files; - or none for standard input")
    List<String> mArguments = new ArrayList<>();

    @Override
    int execute() {
        if (mArguments.isEmpty()) {
            throw invalidArgument("REQUEST_ID", "is required; expected a request identifier");
        }
        RequestExplanation explanation = new RequestExplanation(mArguments.get(0));
        List<String> files = mArguments.subList(1, mArguments.size());
        for (String file : files.isEmpty() ? List.of("-") : files) {
            read(file, explanation);
        }
        if (explanation.isEmpty()) {
            return fail("the logs have no line about request " + mArguments.get(0));
        }
        print(explanation.toJson(), explanation.toText());
        return CtlExitStatus.DONE;
    }

    private static void read(String file, RequestExplanation explanation) {
        // Logs may contain invalid UTF-8; InputStreamReader replaces it instead of failing.
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(
                                file.equals("-") ? System.in : Files.newInputStream(Path.of(file)),
                                StandardCharsets.UTF_8))) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                explanation.add(line);
            }
        } catch (IOException | InvalidPathException e) {
            throw new CommandFailedException(file + " could not be read: " + e.getMessage(), e);
        }
    }
}
