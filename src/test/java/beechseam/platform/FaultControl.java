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
 * Injects failures of system calls and steps of the wall clock into a program under test. A small library, built
 * from {@code faults.c} by the machine's C compiler, is preloaded into the program and reads the faults from a
 * control file that this class maps into memory.
 */
final class FaultControl {
    /** Error numbers of Linux. */
    static final long EMFILE = 24;

    static final long ENOBUFS = 105;
    static final long EADDRNOTAVAIL = 99;
    static final long ENETUNREACH = 101;
    static final long ETIMEDOUT = 110;
    static final long EHOSTUNREACH = 113;

    /** Offsets in the control file. */
    private static final int STEP = 0;

    private static final int ACCEPT = 8;
    private static final int SOCKET = 16;
    private static final int CONNECT = 24;
    private static final int FAILED = 32;
    private static final int FILE_BYTES = 40;

    private final Path library;
    private final Path file;
    private final ByteBuffer control;

    private FaultControl(Path library, Path file) throws IOException {
        this.library = library;
        this.file = file;
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = channel.map(FileChannel.MapMode.READ_WRITE, 0, FILE_BYTES).order(ByteOrder.nativeOrder());
        }
    }

    /** Whether this machine can build and preload the library; prints NOT RUN and the reason if it cannot. */
    static boolean available() {
        try {
            Process compiler = new ProcessBuilder("cc", "--version")
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start();
            boolean works =
                    compiler.waitFor() == 0 && System.getProperty("os.name").equals("Linux");
            if (!works) {
                System.out.println("NOT RUN: fault injection into system calls needs Linux and a C compiler");
            }
            return works;
        } catch (IOException | InterruptedException e) {
            System.out.println("NOT RUN: fault injection into system calls needs a C compiler: " + e.getMessage());
            return false;
        }
    }

    /** Compiles the library and creates the control file, both in this directory. */
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
            throw new IOException("the C compiler could not build faults.c");
        }
        return new FaultControl(library, directory.resolve("faults"));
    }

    /** The environment variables that a program under test needs. */
    Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_CONTROL", file.toString());
    }

    /** Makes the wall clock show this many milliseconds more than the actual time. */
    void stepClock(long stepMs) {
        control.putLong(STEP, stepMs * 1_000_000L);
    }

    /** Makes each accept fail with this error from now on; 0 for none. */
    void failAccept(long error) {
        control.putLong(ACCEPT, error);
    }

    /** Makes each opening of a TCP socket fail with this error from now on; 0 for none. */
    void failSocket(long error) {
        control.putLong(SOCKET, error);
    }

    /** Makes each connect fail with this error from now on; 0 for none. */
    void failConnect(long error) {
        control.putLong(CONNECT, error);
    }

    /** Returns the number of calls that have failed. */
    long failed() {
        return control.getLong(FAILED);
    }
}
