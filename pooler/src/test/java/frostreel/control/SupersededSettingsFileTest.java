package frostreel.control;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.config.SupersededSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The settings that one process leaves to its successor. */
class SupersededSettingsFileTest {
    private static final String SETTINGS = """
            {"caps":{"maxAttempts":4},
            "classes":[{"name":"post","deadlineS":10,"repeat":"fragile"}],
            "familyInfo":{"freshness":["write"]},
            "rules":{}}""";

    @TempDir
    Path folder;

    @Test
    void returnsWhatAnotherProcessHasWritten() throws Exception {
        SupersededSettings first = settings(1_000);
        SupersededSettings second = settings(2_000);
        SupersededSettingsFile file = new SupersededSettingsFile(folder.resolve("missing"));
        file.write(List.of(first));
        file.write(List.of(first, second));

        List<SupersededSettings> read = new SupersededSettingsFile(folder.resolve("missing")).read();

        assertThat(read).extracting(SupersededSettings::supersededAtUs).containsExactly(1_000L, 2_000L);
        assertThat(read).extracting(SupersededSettings::settings).containsExactly(first.settings(), second.settings());
    }

    private static SupersededSettings settings(long atUs) throws Exception {
        return SupersededSettings.fromJson(
                new JSONObject().put("superseded_at_us", atUs).put("settings", new JSONObject(SETTINGS)));
    }

    @Test
    void isEmptyBeforeTheFirstReload() {
        assertThat(new SupersededSettingsFile(folder.resolve("missing")).read()).isEmpty();
    }

    /** A damaged file must not end the start of a process. */
    @ParameterizedTest
    @ValueSource(strings = {"", "[", "[1]", "[{}]", "[{\"superseded_at_us\":\"x\",\"settings\":{}}]", "{}"})
    void isEmptyIfTheFileIsDamaged(String content) throws Exception {
        Files.writeString(folder.resolve("superseded-settings"), content);
        assertThat(new SupersededSettingsFile(folder).read()).isEmpty();
    }

    @Test
    void isEmptyAndWritesNothingIfTheFolderIsAFile() throws Exception {
        Path notAFolder = Files.createFile(folder.resolve("file"));
        SupersededSettingsFile file = new SupersededSettingsFile(notAFolder);
        file.write(List.of(settings(1_000)));
        assertThat(file.read()).isEmpty();
    }
}
