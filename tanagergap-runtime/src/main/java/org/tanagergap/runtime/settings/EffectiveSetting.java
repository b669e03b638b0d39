package org.tanagergap.runtime.settings;

import java.util.Locale;
import java.util.Objects;

/**
 * A setting as a program uses it.
 *
 * @param flag its flag, such as {@code --listen}
 * @param value its value; empty when it is given nowhere and has no default
 * @param source where the value comes from
 */
public record EffectiveSetting(String flag, String value, SettingSource source) {

    public EffectiveSetting {
        Objects.requireNonNull(flag, "flag must not be null");
        Objects.requireNonNull(value, "value must not be null");
        Objects.requireNonNull(source, "source must not be null");
    }

    static EffectiveSetting absent(String flag) {
        return new EffectiveSetting(flag, "", SettingSource.NONE);
    }

    /** One line with the flag, the value and the source. */
    public String line() {
        return "%-22s %-28s %s".formatted(flag, value, source.name().toLowerCase(Locale.ROOT));
    }
}
