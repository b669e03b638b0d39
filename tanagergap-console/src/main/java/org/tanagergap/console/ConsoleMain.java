package org.tanagergap.console;

import org.tanagergap.runtime.program.ProgramRunner;

/** Entry point of the operators' console. */
public final class ConsoleMain {

    private ConsoleMain() {}

    /** Serves the console until the process is told to end. */
    public static void main(String[] args) {
        ProgramRunner.run(ConsoleCommand.class, args);
    }
}
