package org.tanagergap.ctl;

import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.state.configuration.ConfigurationStore;

/** Opens the configuration store in the key-value service at an address. */
@FunctionalInterface
interface StoreOpener {

    ConfigurationStore open(HostPort keyValue);
}
