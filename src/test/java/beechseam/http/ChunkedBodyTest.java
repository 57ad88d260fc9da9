package beechseam.http;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class ChunkedBodyTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void chunksAreJoinedOnceTheLastHasArrived() throws HttpException {
        byte[] message = bytes("head3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: t\r\n\r\nnext");
        int end = message.length - "next".length();
        ChunkedBody chunks = new ChunkedBody(100, 100);
        for (int limit = 4; limit < end; limit++) {
            assertFalse(chunks.decode(message, 0, 4, limit), "limit " + limit);
        }
        assertTrue(chunks.decode(message, 0, 4, message.length));
        assertEquals("abcde", chunks.body().toString());
        assertEquals(end, chunks.end());
    }

    @Test
    void dataAndFramingAreLimitedSeparately() {
        byte[] data = bytes("5\r\nhello\r\n0\r\n\r\n");
        HttpException dataTooLong =
                assertThrows(HttpException.class, () -> new ChunkedBody(4, 100).decode(data, 0, 0, data.length));
        assertEquals("a body of 5 bytes or more; 4 is the most", dataTooLong.getMessage());
        HttpException framingTooLong =
                assertThrows(HttpException.class, () -> new ChunkedBody(5, 7).decode(data, 0, 0, data.length));
        assertEquals(413, framingTooLong.status);
        assertEquals("chunks whose frames take 8 bytes or more; 7 is the most", framingTooLong.getMessage());
    }
}
