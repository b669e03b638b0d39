package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Prints the list of commands or the manual page of one command. */
@Command(name = "help", description = "Lists the commands or describes one")
public final class HelpCommand extends CtlCommand {

    @AirlineModule GlobalMetadata<CtlCommand> mGlobal;

    @Arguments(title = "COMMAND", description = "Command to describe")
    List<String> mCommand = new ArrayList<>();

    @Override
    int execute() {
        // This is the default command, so the parser passes an unknown command as its argument.
        if (!mCommand.isEmpty() && (mCommand.size() > 1 || !isCommand(mCommand.get(0)))) {
            throw invalidArgument("COMMAND", "there is no command " + String.join(" ", mCommand));
        }
        try {
            Help.help(mGlobal, mCommand, context().out());
        } catch (IOException e) {
            throw new CommandFailedException("help could not be printed: " + e.getMessage(), e);
        }
        if (mCommand.isEmpty()) {
            context()
                    .out()
                    .println(
                            "Exit statuses: 0 done; 1 failed or not yet in effect; 2 invalid input;"
                                    + " 3 conflict; 4 unresolved.");
        }
        return CtlExitStatus.DONE;
    }

    private boolean isCommand(String name) {
        return mGlobal.getDefaultGroupCommands().stream()
                .anyMatch(command -> command.getName().equals(name));
    }
}
