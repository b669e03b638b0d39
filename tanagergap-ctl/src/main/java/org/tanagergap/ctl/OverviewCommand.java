package org.tanagergap.ctl;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.util.List;

/** Prints the list of commands. */
@Command(name = "help", description = "Lists the commands")
public final class OverviewCommand extends CtlCommand {

    @AirlineModule GlobalMetadata<CtlCommand> mGlobal;

    @Override
    int execute() {
        try {
            Help.help(mGlobal, List.of(), context().out());
        } catch (IOException e) {
            throw new CallFailedException("help could not be printed: " + e.getMessage(), e);
        }
        context()
                .out()
                .println(
                        "Each command explains its options with --help."
                                + " Exit statuses: 0 done; 1 failed or not yet in effect;"
                                + " 2 invalid input; 3 conflict; 4 unresolved.");
        return CtlStatus.DONE;
    }
}
