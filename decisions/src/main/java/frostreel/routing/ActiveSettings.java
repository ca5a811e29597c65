package frostreel.routing;

import frostreel.routing.Router.Rules;
import frostreel.routing.Router.Settings;

/** The settings in force. They may be replaced while the router runs, so nobody keeps a copy. */
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
