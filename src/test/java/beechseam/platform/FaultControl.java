package beechseam.platform;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * Faults of the system's calls and steps of the wall clock in a program under test: a small library, built
 * from {@code faults.c} by the machine's C compiler and preloaded, reads them from a file that this maps.
 */
final class FaultControl {
    /** Errors of Linux by number. */
    static final long EMFILE = 24;

    static final long ENOBUFS = 105;
    static final long EADDRNOTAVAIL = 99;
    static final long ENETUNREACH = 101;
    static final long ETIMEDOUT = 110;
    static final long EHOSTUNREACH = 113;

    private static final int STEP = 0;
    private static final int ACCEPT = 8;
    private static final int SOCKET = 16;
    private static final int CONNECT = 24;
    private static final int FAILED = 32;
    private static final int BYTES = 40;

    private final Path library;
    private final Path file;
    private final ByteBuffer control;

    private FaultControl(Path library, Path file) throws IOException {
        this.library = library;
        this.file = file;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, BYTES).order(ByteOrder.nativeOrder());
        }
    }

    /** Whether this machine can build the library; where not, that is printed. */
    static boolean available() {
        try {
            Process compiler = new ProcessBuilder("cc", "--version")
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            boolean works =
                    compiler.waitFor() == 0 && System.getProperty("os.name").equals("Linux");
            if (!works) {
                System.out.println("NOT RUN: faults of the system's calls need Linux and a C compiler");
            }
            return works;
        } catch (IOException | InterruptedException e) {
            System.out.println("NOT RUN: faults of the system's calls need a C compiler: " + e.getMessage());
            return false;
        }
    }

    static FaultControl build(Path directory) throws IOException, InterruptedException {
        Path source = directory.resolve("faults.c");
        try (InputStream in = FaultControl.class.getResourceAsStream("faults.c")) {
            Files.copy(in, source);
        }
        Path library = directory.resolve("faults.so");
        int result = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-o", library.toString(), source.toString())
                .inheritIO()
                .start()
                .waitFor();
        if (result != 0) {
            throw new IOException("the C compiler refused faults.c");
        }
        return new FaultControl(library, directory.resolve("faults"));
    }

    /** What a program needs in its environment. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_CONTROL", file.toString());
    }

    /** The wall clock shows so many milliseconds more than the time. */
    void stepClock(long stepMs) {
        control.putLong(STEP, stepMs * 1_000_000L);
    }

    /** From now on each call fails with this error; 0 for none. */
    void failAccept(long error) {
        control.putLong(ACCEPT, error);
    }

    void failSocket(long error) {
        control.putLong(SOCKET, error);
    }

    void failConnect(long error) {
        control.putLong(CONNECT, error);
    }

    /** How many calls have failed. */
    long failed() {
        return control.getLong(FAILED);
    }
}
