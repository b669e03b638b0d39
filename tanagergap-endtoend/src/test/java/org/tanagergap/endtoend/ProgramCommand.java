package org.tanagergap.endtoend;

/** The command of a program, which is kept to start the program again. */
record ProgramCommand(String name, String mainClass, String... arguments) {

    ProgramProcess start() {
        return ProgramProcess.start(name, mainClass, arguments);
    }

    ProgramProcess startLimited(ProcessLimits limits) {
        return ProgramProcess.startLimited(name, limits, mainClass, arguments);
    }
}
