package frostreel.control;

import frostreel.config.SupersededSettings;
import frostreel.wire.MalformedMessageException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * The file in which a process leaves the settings that its clients may still follow to the process that succeeds it in
 * an upgrade. A new file replaces the previous one as a whole. Methods block; used by one thread at a time.
 */
public final class SupersededSettingsFile {
    private static final String NAME = "superseded-settings";
    private static final String TEMPORARY_SUFFIX = ".new";
    private static final Logger LOG = Logger.getLogger(SupersededSettingsFile.class.getName());

    private final Path folder;

    /** {@code folder}: the folder that the processes of one pooler share, which may not exist yet. */
    public SupersededSettingsFile(Path folder) {
        this.folder = folder;
    }

    /** Replaces the content of the file; a failure is logged, as this process does not need the file. */
    public void write(List<SupersededSettings> superseded) {
        JSONArray entries = new JSONArray();
        superseded.forEach(settings -> entries.put(settings.toJson()));
        Path temporary = folder.resolve(NAME + TEMPORARY_SUFFIX);
        try {
            Files.createDirectories(folder);
            Files.writeString(temporary, entries.toString());
            Files.move(temporary, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException failure) {
            LOG.warning("cannot store superseded settings: " + failure);
        }
    }

    /** Returns the content of the file, empty if there is none or it cannot be read. */
    public List<SupersededSettings> read() {
        try {
            return decode(new JSONArray(Files.readString(folder.resolve(NAME))));
        } catch (NoSuchFileException noReload) {
            return List.of();
        } catch (IOException | JSONException | MalformedMessageException failure) {
            LOG.warning("cannot read superseded settings: " + failure);
            return List.of();
        }
    }

    private static List<SupersededSettings> decode(JSONArray entries) throws MalformedMessageException {
        List<SupersededSettings> superseded = new ArrayList<>();
        for (Object entry : entries) {
            if (!(entry instanceof JSONObject json)) {
                throw new MalformedMessageException("superseded settings are not a list of objects");
            }
            superseded.add(SupersededSettings.fromJson(json));
        }
        return superseded;
    }
}
