package org.tanagergap.runtime.settings;

/** Source of the value of a setting, in descending precedence. */
public enum SettingSource {
    FLAG,
    VARIABLE,
    FILE,
    DEFAULT,
    /** The setting is neither given nor has a default. */
    NONE
}
