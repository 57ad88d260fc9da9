package beechseam.ops;

import java.io.IOException;
import java.io.InputStream;
import java.util.Objects;

/** Bytes that a process of an earlier version sent or stored; how they were recorded stands beside them. */
public final class Recordings {
    private static final String DIRECTORY = "/beechseam/ops/recorded-16ef30c/";

    private Recordings() {}

    /** The bytes of the file of this name. */
    public static byte[] read(String name) throws IOException {
        try (InputStream in = Recordings.class.getResourceAsStream(DIRECTORY + name)) {
            return Objects.requireNonNull(in, name).readAllBytes();
        }
    }
}
