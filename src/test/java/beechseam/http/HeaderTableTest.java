package beechseam.http;

import static org.junit.jupiter.api.Assertions.*;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class HeaderTableTest {
    private static void add(HeaderTable headers, String line) throws HttpException {
        byte[] bytes = line.getBytes(StandardCharsets.ISO_8859_1);
        headers.add(bytes, 0, bytes.length);
    }

    @Test
    void valuesAreTrimmedAndNamesAreCaseInsensitive() throws HttpException {
        HeaderTable headers = new HeaderTable();
        add(headers, "X-Id: \t7 ");
        add(headers, "x-id:8");
        assertEquals(2, headers.count());
        assertEquals("7", headers.get("x-id").toString());
        assertNull(headers.get("x"));
        headers.clear();
        assertNull(headers.get("x-id"));
    }

    @Test
    void headerCountIsLimited() throws HttpException {
        HeaderTable headers = new HeaderTable();
        for (int i = 0; i < 64; i++) {
            add(headers, "A: b");
        }
        HttpException tooMany = assertThrows(HttpException.class, () -> add(headers, "A: b"));
        assertEquals(431, tooMany.status);
        assertEquals("more than 64 headers", tooMany.getMessage());
    }
}
