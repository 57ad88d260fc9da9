package beechseam.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Encodes complete HTTP/1.1 messages. */
public final class HttpWriter {
    private HttpWriter() {}

    /**
     * Encodes a complete response.
     *
     * @param headers further header lines, each with its CR LF; may be empty
     * @param close whether to announce the close of the connection
     */
    public static ByteBuffer response(int status, String headers, byte[] body, boolean close) {
        StringBuilder head = new StringBuilder(128)
                .append("HTTP/1.1 ")
                .append(status)
                .append(' ')
                .append(reason(status))
                .append("\r\n")
                .append(headers);
        if (status != 204) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        if (close) {
            head.append("Connection: close\r\n");
        }
        return message(head.append("\r\n"), body);
    }

    /**
     * Encodes a complete request.
     *
     * @param headers further header lines, each with its CR LF; may be empty
     * @param body the body; may be empty
     */
    public static ByteBuffer request(String method, String target, String host, String headers, byte[] body) {
        StringBuilder head = new StringBuilder(256)
                .append(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\n")
                .append(headers);
        if (body.length > 0 || method.equals("POST")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        return message(head.append("\r\n"), body);
    }

    private static ByteBuffer message(StringBuilder head, byte[] body) {
        byte[] start = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(start.length + body.length)
                .put(start)
                .put(body)
                .flip();
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 204 -> "No Content";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 505 -> "HTTP Version Not Supported";
            default -> "Status";
        };
    }
}
