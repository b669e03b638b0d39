package org.tanagergap.ctl;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;

/** Parses the command line and runs the command. */
final class CtlProgram {

    private static final Cli<CtlCommand> CLI =
            Cli.<CtlCommand>builder("tanagergap-ctl")
                    .withDescription("submits configuration documents and tells what is in effect")
                    .withDefaultCommand(HelpCommand.class)
                    .withCommand(ValidateCommand.class)
                    .withCommand(SubmitCommand.class)
                    .withCommand(OutcomeCommand.class)
                    .withCommand(ShowCommand.class)
                    .withCommand(DiffCommand.class)
                    .withCommand(StatusCommand.class)
                    .withCommand(ExplainCommand.class)
                    .withCommand(CompletionCommand.class)
                    .withCommand(HashKeyCommand.class)
                    .withCommand(HelpCommand.class)
                    .build();

    private CtlProgram() {}

    /** Runs the command and returns the exit status. */
    static int run(CtlContext context, String... args) {
        if (args.length == 1 && (args[0].equals("--help") || args[0].equals("-h"))) {
            return CLI.parse("help").run(context);
        }
        CtlCommand command;
        try {
            command = CLI.parse(args);
        } catch (ParseException e) {
            context.err().println(e.getMessage());
            return CtlExitStatus.INVALID_INPUT;
        }
        return command.run(context);
    }
}
