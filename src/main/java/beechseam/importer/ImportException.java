package beechseam.importer;

/** A file cannot be imported; the message names the line or key at fault. */
public final class ImportException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an error; the message names the place in the file and the problem. */
    public ImportException(String message) {
        super(message);
    }
}
