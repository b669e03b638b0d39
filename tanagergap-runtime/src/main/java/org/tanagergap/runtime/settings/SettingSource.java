package org.tanagergap.runtime.settings;

/** Where the value of a setting comes from. */
public enum SettingSource {
    FLAG,
    VARIABLE,
    FILE,
    DEFAULT,
    /** It is given nowhere and has no default. */
    NONE
}
