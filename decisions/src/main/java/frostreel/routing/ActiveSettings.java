package frostreel.routing;

import frostreel.routing.Router.Rules;
import frostreel.routing.Router.Settings;

/** Holder of the current settings. They may be replaced at any time, so users read them from here each time. */
final class ActiveSettings {
    private Settings settings;

    ActiveSettings(Settings settings) {
        this.settings = settings;
    }

    void replace(Settings newSettings) {
        settings = newSettings;
    }

    Settings get() {
        return settings;
    }

    Limits limits() {
        return settings.limits();
    }

    Rules rules() {
        return settings.rules();
    }
}
