package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.cli.bash.BashCompletionGenerator;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;

/** Prints a Bash completion script for commands, options and file names. */
@Command(name = "completion", description = "Prints a completion script for Bash")
public final class CompletionCommand extends CtlCommand {

    @AirlineModule GlobalMetadata<CtlCommand> mGlobal;

    @Override
    int execute() {
        try {
            new BashCompletionGenerator<CtlCommand>(false, false).usage(mGlobal, context().out());
        } catch (IOException e) {
            throw new CommandFailedException(
                    "the script could not be printed: " + e.getMessage(), e);
        }
        return CtlExitStatus.DONE;
    }
}
