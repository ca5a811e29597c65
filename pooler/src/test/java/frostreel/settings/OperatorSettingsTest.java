package frostreel.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import frostreel.log.Logging;
import frostreel.zones.ZoneSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import org.assertj.core.api.InstanceOfAssertFactories;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads and validates operators' settings files. */
class OperatorSettingsTest {
    private static final String HEAD = "<frostreel xmlns=\"urn:frostreel:settings:1\">\n";

    @TempDir
    Path folder;

    private Path write(String text) throws IOException {
        return Files.writeString(folder.resolve("f.xml"), text);
    }

    private List<ValidationError> errorsOf(String text) throws IOException {
        Path file = write(text);
        return assertThatThrownBy(() -> OperatorSettings.read(file))
                .isInstanceOf(InvalidFileException.class)
                .asInstanceOf(InstanceOfAssertFactories.type(InvalidFileException.class))
                .actual()
                .errors();
    }

    private static String document(String content) {
        return HEAD + content + "</frostreel>";
    }

    /** Returns the errors of a document with this content as line and key; the content begins in line 2. */
    private List<String> linesAndKeysOfErrors(String content) throws IOException {
        return errorsOf(document(content)).stream()
                .map(error -> error.line() + " " + error.key())
                .toList();
    }

    @Test
    void shippedFileIsValidAndHasTheDefaults() throws Exception {
        assertThat(OperatorSettings.read(Path.of("../deploy/frostreel.xml"))).isEqualTo(OperatorSettings.DEFAULT);
    }

    @Test
    void omittedPartsGetDefaults() throws Exception {
        assertThat(OperatorSettings.read(write(HEAD + "<log format=\"json\"/></frostreel>")))
                .isEqualTo(new OperatorSettings(Logging.Format.JSON, Level.INFO, Optional.empty(), Optional.empty()));
        assertThat(OperatorSettings.read(write(HEAD + "</frostreel>"))).isEqualTo(OperatorSettings.DEFAULT);
    }

    @Test
    void allErrorsAreReportedAtOnceWithLineAndKey() throws Exception {
        List<ValidationError> errors =
                errorsOf(HEAD + "<log format=\"yaml\"\n level=\"loud\" colour=\"red\"/>\n<pool/>\n" + "</frostreel>");
        assertThat(errors).extracting(ValidationError::line).containsExactly(3, 3, 3, 4);
        assertThat(errors)
                .extracting(ValidationError::key)
                .containsExactlyInAnyOrder(
                        "frostreel/log@format", "frostreel/log@level", "frostreel/log@colour", "frostreel/pool");
        assertThat(errors).allSatisfy(error -> assertThat(error.file()).endsWith("f.xml"));
        assertThat(errors.get(0).toString()).containsPattern("f\\.xml:3:\\d+: frostreel/log@\\w+: .+");
    }

    @Test
    void convertsZoneNamesInTiersToNumbers() throws Exception {
        OperatorSettings read = OperatorSettings.read(
                write(document("<zones poolers='6'><tier zones='b c' spill='0.5'/><tier spill='0.2'/></zones>")));

        assertThat(read.zoneSettings(1, List.of("b", "a", "c", "d")))
                .hasValue(new ZoneSettings(
                        1,
                        List.of(new ZoneSettings.Tier(List.of(0, 2), 0.5), new ZoneSettings.Tier(List.of(), 0.2)),
                        6));
        assertThat(OperatorSettings.DEFAULT.zoneSettings(0, List.of("a"))).isEmpty();
    }

    @Test
    void reportsOverlappingTiers() throws Exception {
        assertThat(linesAndKeysOfErrors("""
                <zones poolers='6'>
                <tier spill='1'/>
                <tier zones='b b' spill='1'/>
                </zones>"""))
                .containsExactly("3 frostreel/zones/tier@zones", "4 frostreel/zones/tier@zones");
    }

    @Test
    void reportsZoneValuesOutOfRange() throws Exception {
        assertThat(linesAndKeysOfErrors("""
                <zones poolers='0'>
                <tier spill='-1'/></zones>"""))
                .containsExactly("2 frostreel/zones@poolers", "3 frostreel/zones/tier@spill");
    }

    private static final String CLUSTER = """
            <cluster silentAfterMs='800'><pooler name='a' at='10.0.0.1:7800'/>\
            <pooler name='b' at='10.0.0.2:7800' bind='127.0.0.2:7801'/></cluster>""";

    @Test
    void readsClusterMembersWithTheirAddresses() throws Exception {
        OperatorSettings.Cluster cluster =
                OperatorSettings.read(write(document(CLUSTER)), "b").cluster().orElseThrow();

        assertThat(cluster.group()).isEqualTo("frostreel");
        assertThat(cluster.silentAfterMs()).isEqualTo(800);
        InetSocketAddress first = new InetSocketAddress("10.0.0.1", 7800);
        assertThat(cluster.members())
                .containsOnlyKeys("a", "b")
                .containsEntry("a", new OperatorSettings.MemberAddress(first, first))
                .containsEntry(
                        "b",
                        new OperatorSettings.MemberAddress(
                                new InetSocketAddress("10.0.0.2", 7800), new InetSocketAddress("127.0.0.2", 7801)));
    }

    @Test
    void rejectsAClusterWithoutThisPooler() throws Exception {
        Path file = write(document(CLUSTER));

        assertThatThrownBy(() -> OperatorSettings.read(file, "c"))
                .hasMessageContaining(":2:")
                .hasMessageContaining("frostreel/cluster: this pooler, 'c'");
    }

    @Test
    void reportsClusterMembersWithDuplicateOrInvalidNamesAndAddresses() throws Exception {
        assertThat(linesAndKeysOfErrors("""
                <cluster>
                <pooler name='a' at='10.0.0.1:7800'/>
                <pooler name='a' at='10.0.0.2:7800'/>
                <pooler name='b' at='10.0.0.1:7800'/>
                <pooler name='c' at='0.0.0.0:7800'/>
                <pooler name='d' at='10.0.0.300:1'/>
                <pooler name='e' at='10.0.0.3:0'/>
                <pooler name='f' at='10.0.0.4:65536'/>
                </cluster>"""))
                .containsExactly(
                        "4 frostreel/cluster/pooler@name", "5 frostreel/cluster/pooler@at",
                        "6 frostreel/cluster/pooler@at", "7 frostreel/cluster/pooler@at",
                        "8 frostreel/cluster/pooler@at", "9 frostreel/cluster/pooler@at");
    }

    @Test
    void reportsClusterValuesThatTheSchemaRejects() throws Exception {
        assertThat(linesAndKeysOfErrors("""
                <cluster silentAfterMs='100'>
                <pooler name='a' at='localhost:1'/></cluster>"""))
                .containsExactly("2 frostreel/cluster@silentAfterMs", "3 frostreel/cluster/pooler@at");
    }

    @Test
    void fileThatIsNotWellFormedIsReportedByLine() throws Exception {
        assertThat(errorsOf(HEAD + "<log>\n</frostreel>"))
                .singleElement()
                .satisfies(error -> assertThat(error.line()).isEqualTo(3));
        assertThat(errorsOf("")).singleElement();
    }

    @Test
    void documentTypesAndExternalEntitiesAreRejected() throws Exception {
        Path secret = Files.writeString(folder.resolve("secret"), "json");
        List<ValidationError> errors = errorsOf("<!DOCTYPE frostreel [<!ENTITY x SYSTEM \"" + secret.toUri() + "\">]>\n"
                + HEAD + "<log format=\"&x;\"/></frostreel>");
        assertThat(errors)
                .singleElement()
                .satisfies(error -> assertThat(error.message()).contains("DOCTYPE"));
    }

    @Test
    void oversizedAndMissingFilesAreRejected() throws Exception {
        assertThat(errorsOf(HEAD + " ".repeat(XmlFile.MAX_BYTES)))
                .singleElement()
                .satisfies(error -> assertThat(error.message()).contains("larger"));
        assertThatThrownBy(() -> OperatorSettings.read(folder.resolve("none"))).hasMessageContaining("cannot be read");
    }
}
