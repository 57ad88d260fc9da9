package beechseam.importer;

/** A file that cannot be taken over; the message names the line or key. */
public final class ImportException extends Exception {
    private static final long serialVersionUID = 1;

    /** The message names the place in the file and what is wrong there. */
    public ImportException(String message) {
        super(message);
    }
}
