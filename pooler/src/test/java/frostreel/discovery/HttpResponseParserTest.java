package frostreel.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpResponseParserTest {
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    private final HttpResponseParser parser = new HttpResponseParser();

    private ByteBuffer accept(String text) throws MalformedResponseException {
        ByteBuffer bytes = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
        parser.accept(bytes);
        return bytes;
    }

    @Test
    void bodyOfKnownLengthIsCompleteAtThatLengthAndLeavesTheRest() throws Exception {
        ByteBuffer rest = accept(STATUS_LINE + "Content-Length: 4\r\n\r\nbodymore");

        assertThat(parser.isComplete()).isTrue();
        assertThat(parser.status()).isEqualTo(200);
        assertThat(parser.body()).isEqualTo("body");
        assertThat(parser.keepAlive()).isTrue();
        assertThat(rest.remaining()).isEqualTo("more".length());
    }

    @Test
    void emptyBodyIsCompleteWithTheHeaders() throws Exception {
        accept("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");

        assertThat(parser.isComplete()).isTrue();
        assertThat(parser.status()).isEqualTo(204);
        assertThat(parser.body()).isEmpty();
    }

    @Test
    void chunksAreJoinedAndExtensionsAndTrailersSkipped() throws Exception {
        String response =
                STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\nA;part=2\r\n of chunks\r\n0\r\n";
        accept(response + "Checksum: none\r\n");
        assertThat(parser.isComplete()).isFalse();

        accept("\r\n");

        assertThat(parser.isComplete()).isTrue();
        assertThat(parser.body()).isEqualTo("body of chunks");
        assertThat(parser.keepAlive()).isTrue();
    }

    @Test
    void bodyWithoutLengthEndsWithItsConnection() throws Exception {
        accept(STATUS_LINE + "Content-Type: application/json\r\n\r\n{}");

        assertThat(parser.isComplete()).isFalse();
        assertThat(parser.isDelimitedByClose()).isTrue();
        assertThat(parser.keepAlive()).isFalse();
        assertThat(parser.body()).isEqualTo("{}");
    }

    @Test
    void truncatedBodyOfKnownLengthIsNotDelimitedByClose() throws Exception {
        accept(STATUS_LINE + "Content-Length: 4\r\n\r\nbod");

        assertThat(parser.isComplete()).isFalse();
        assertThat(parser.isDelimitedByClose()).isFalse();
    }

    @Test
    void connectionThatIsToBeClosedIsNotKeptAlive() throws Exception {
        accept(STATUS_LINE + "Connection: Close\r\nContent-Length: 0\r\n\r\n");

        assertThat(parser.isComplete()).isTrue();
        assertThat(parser.keepAlive()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\r\n",
                "HTTP/2 200 OK\r\n",
                "HTTP/1.1 ok\r\n",
                "HTTP/1.1 1000 Odd\r\n",
                STATUS_LINE + "Content-Length: -1\r\n",
                STATUS_LINE + "Content-Length: 4194305\r\n",
                STATUS_LINE + "Content-Length: many\r\n",
                STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
                STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n400001\r\n"
            })
    void responseOutOfBoundsIsMalformed(String text) {
        assertThatThrownBy(() -> accept(text)).isInstanceOf(MalformedResponseException.class);
    }

    @Test
    void linesAndBodiesAreBounded() throws Exception {
        assertThatThrownBy(() -> accept("x".repeat(8193))).hasMessage("a line of over 8192 bytes");

        HttpResponseParser untilClose = new HttpResponseParser();
        untilClose.accept(ByteBuffer.wrap((STATUS_LINE + "\r\n").getBytes(StandardCharsets.US_ASCII)));
        untilClose.accept(ByteBuffer.allocate(1 << 22));
        assertThatThrownBy(() -> untilClose.accept(ByteBuffer.allocate(1))).hasMessage("a body of over 4194304 bytes");
    }
}
