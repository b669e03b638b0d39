package org.tanagergap.ctl;

import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.state.configuration.ConfigurationStore;

/** Connects to the configuration in a key-value service. */
@FunctionalInterface
interface StoreOpener {

    ConfigurationStore open(HostPort keyValue);
}
