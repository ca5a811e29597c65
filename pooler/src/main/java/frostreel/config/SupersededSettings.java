package frostreel.config;

import frostreel.routing.Router;
import frostreel.wire.MalformedMessageException;
import frostreel.wire.MessageFields;
import frostreel.wire.SettingsReader;
import org.json.JSONObject;

/**
 * Settings that a reload replaced, which clients may still follow for some time.
 *
 * @param supersededAtUs when they were replaced, on the clock that the processes of one pooler share
 * @param source the JSON object from which they were read
 * @param settings the settings
 */
public record SupersededSettings(long supersededAtUs, JSONObject source, Router.Settings settings) {
    private static final String SUPERSEDED_AT_US = "superseded_at_us";
    private static final String SETTINGS = "settings";
    /** Decisions by chance do not follow superseded settings. */
    private static final long NO_SEED = 0;

    /** Returns the settings of a configuration that was replaced at this time. */
    public static SupersededSettings of(Config config, long supersededAtUs) {
        return new SupersededSettings(supersededAtUs, config.source().getJSONObject(SETTINGS), config.settings());
    }

    /** Returns the JSON object that {@link #fromJson} reads. */
    public JSONObject toJson() {
        return new JSONObject().put(SUPERSEDED_AT_US, supersededAtUs).put(SETTINGS, source);
    }

    /**
     * Reads an object that {@link #toJson} returned.
     *
     * @throws MalformedMessageException naming the field that is missing or invalid
     */
    public static SupersededSettings fromJson(JSONObject json) throws MalformedMessageException {
        MessageFields fields = new MessageFields(json.toMap());
        long atUs = fields.integer(SUPERSEDED_AT_US, 0, Long.MAX_VALUE, 0);
        Router.Settings settings = SettingsReader.read(NO_SEED, fields.object(SETTINGS));
        return new SupersededSettings(atUs, json.getJSONObject(SETTINGS), settings);
    }
}
