package org.tanagergap.runtime.program;

import java.util.Optional;

/** Version of the programs, from the manifest of their jar. */
public final class Version {

    private Version() {}

    /** Version of this build; "development" if run from class files. */
    public static String current() {
        return Optional.ofNullable(Version.class.getPackage().getImplementationVersion())
                .orElse("development");
    }
}
