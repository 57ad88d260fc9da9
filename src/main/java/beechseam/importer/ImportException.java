package beechseam.importer;

/** A file that cannot be taken over; the message names the line or key. */
public final class ImportException extends Exception {
    private static final long serialVersionUID = 1;

    public ImportException(String message) {
        super(message);
    }
}
