package frostreel.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import frostreel.config.EndpointList;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.json.JSONObject;
import org.junit.jupiter.api.Test;

/** Endpoint lists with the indentation that agents may use, received byte by byte. */
class EndpointListLayoutTest {
    private static final JSONObject LIST = new JSONObject("""
            {"seq":41,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:9","site":"dc","class":"m",
            "block":2,"health":"Ready","share":1.0,"born_ms":0,"role":"primary"}]}""");

    private static EndpointList readByteByByte(String body) throws Exception {
        HttpResponseParser response = new HttpResponseParser();
        byte[] bytes = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < bytes.length; i++) {
            assertThat(response.isComplete()).as("at byte %d", i).isFalse();
            response.accept(ByteBuffer.wrap(bytes, i, 1));
        }
        assertThat(response.isComplete()).isTrue();
        return EndpointList.read(new JSONObject(response.body()).toMap(), List.of("dc"), List.of("m"));
    }

    @Test
    void listDoesNotDependOnIndentationAndFragmentation() throws Exception {
        EndpointList compact = readByteByByte(LIST.toString());

        assertThat(compact.endpoints()).singleElement().satisfies(endpoint -> {
            assertThat(endpoint.member().id()).isEqualTo("a");
            assertThat(endpoint.member().primary()).isTrue();
        });
        assertThat(readByteByByte(LIST.toString(1))).isEqualTo(compact);
        assertThat(readByteByByte(LIST.toString(8).replace("\n", "\r\n\t"))).isEqualTo(compact);
    }
}
