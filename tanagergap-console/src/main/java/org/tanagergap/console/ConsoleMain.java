package org.tanagergap.console;

import org.tanagergap.runtime.program.ProgramRunner;

/** Entry point of tanagergap-console, the web console for operators. */
public final class ConsoleMain {

    private ConsoleMain() {}

    /** Serves the console until the process receives a termination signal. */
    public static void main(String[] args) {
        ProgramRunner.run(ConsoleCommand.class, args);
    }
}
