package beechseam.ops;

import java.io.IOException;
import java.io.InputStream;
import java.util.Objects;

/**
 * Reads the recorded bytes that a process of an earlier version sent or stored. README.txt beside them describes how
 * they were recorded.
 */
public final class Recordings {
    private static final String DIRECTORY = "/beechseam/ops/recorded-16ef30c/";

    private Recordings() {}

    /** Returns the bytes of the recorded file with this name. */
    public static byte[] read(String name) throws IOException {
        try (InputStream in = Recordings.class.getResourceAsStream(DIRECTORY + name)) {
            return Objects.requireNonNull(in, name).readAllBytes();
        }
    }
}
