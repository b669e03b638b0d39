package org.tanagergap.runtime.settings;

import java.util.Locale;
import java.util.Objects;

/**
 * Effective value of a setting.
 *
 * @param flag flag of the setting, such as {@code --listen}
 * @param value value; empty if the setting is neither given nor has a default
 * @param source source of the value
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

    /** Formats the flag, the value and the source as one line. */
    public String line() {
        return "%-22s %-28s %s".formatted(flag, value, source.name().toLowerCase(Locale.ROOT));
    }
}
