package beechseam.gearman;

import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The admin lines: those of the published list, and of our own {@code counters}, {@code drain} and
 * {@code undrain}. An answer is one line that begins with OK or ERR, or lines that end with one of a dot.
 */
final class Admin {
    private static final String END = ".\n";
    private static final String OK = "OK\n";
    private final GearmanServer server;

    Admin(GearmanServer server) {
        this.server = server;
    }

    void answer(String line, GearmanConnection to) {
        if (!line.isEmpty()) { // an empty one is somebody's second line end
            to.write(ByteBuffer.wrap(answer(line).getBytes(StandardCharsets.UTF_8)));
        }
    }

    private String answer(String line) {
        String[] words = line.split("\\s+");
        return switch (words[0].toLowerCase(java.util.Locale.ROOT)) {
            case "status" -> status();
            case "prioritystatus" -> priorityStatus();
            case "workers" -> workers();
            case "version" -> "OK " + version() + "\n";
            case "getpid" -> "OK " + ProcessHandle.current().pid() + "\n";
            case "verbose" -> "OK " + verbosity() + "\n";
            case "counters" -> server.figures() + "\n";
            case "maxqueue" -> maxQueue(words);
            case "create" -> create(words);
            case "drop" -> drop(words);
            case "show" -> show(words);
            case "cancel" -> cancel(words);
            case "drain" -> drain(words, true);
            case "undrain" -> drain(words, false);
            case "shutdown" -> shutdown(words);
            default -> error("UNKNOWN_COMMAND", "Unknown server command");
        };
    }

    private static String version() {
        String version = GearmanServer.class.getPackage().getImplementationVersion();
        return version == null ? "0" : version;
    }

    private static String verbosity() {
        System.Logger log = System.getLogger(GearmanServer.class.getName());
        for (Level level : new Level[] {Level.TRACE, Level.DEBUG, Level.INFO, Level.WARNING}) {
            if (log.isLoggable(level)) {
                return level.name();
            }
        }
        return Level.ERROR.name();
    }

    /** Blanks are plus signs in the published form of errors. */
    private static String error(String code, String why) {
        return "ERR " + code + " " + why.replace(' ', '+') + "\n";
    }

    private static String incomplete() {
        return error("INVALID_ARGUMENTS", "An incomplete set of arguments was sent to this command");
    }

    private List<GearmanFunction> sorted() {
        List<GearmanFunction> all = new ArrayList<>(server.functions());
        all.sort(Comparator.comparing((GearmanFunction function) -> function.name));
        return all;
    }

    private String status() {
        StringBuilder lines = new StringBuilder();
        for (GearmanFunction function : sorted()) {
            lines.append(function.name)
                    .append('\t')
                    .append(function.alive)
                    .append('\t')
                    .append(function.running)
                    .append('\t')
                    .append(function.workers.groups.memberCount())
                    .append('\n');
        }
        return lines.append(END).toString();
    }

    private String priorityStatus() {
        StringBuilder lines = new StringBuilder();
        for (GearmanFunction function : sorted()) {
            lines.append(function.name);
            for (int priority = 0; priority < GearmanFunction.PRIORITIES; priority++) {
                // Those that wait for the clock are normal ones.
                int later = priority == 1 ? function.delayed.size() : 0;
                lines.append('\t').append(function.queues.queuedJobs(priority) + later);
            }
            lines.append('\t').append(function.workers.groups.memberCount()).append('\n');
        }
        return lines.append(END).toString();
    }

    private String workers() {
        StringBuilder lines = new StringBuilder();
        for (GearmanConnection each : server.connections()) {
            WorkerSession worker = each.worker();
            lines.append(worker == null ? 0 : worker.number)
                    .append(' ')
                    .append(each.peer())
                    .append(' ')
                    .append(each.clientId())
                    .append(" :");
            if (worker != null) {
                worker.functions().forEach(name -> lines.append(' ').append(name));
            }
            lines.append('\n');
        }
        return lines.append(END).toString();
    }

    /** Of a function, one bound for each priority or one for all; none, or below 1: no bound. */
    private String maxQueue(String[] words) {
        if (words.length < 2) {
            return incomplete();
        }
        int[] limits = new int[GearmanFunction.PRIORITIES];
        for (int i = 0; i < limits.length; i++) {
            String word = words.length == 2 ? "0" : words.length < 5 ? words[2] : words[2 + i];
            try {
                int bound = Integer.parseInt(word);
                limits[i] = bound < 1 ? Integer.MAX_VALUE : bound;
            } catch (NumberFormatException e) {
                return error("INVALID_ARGUMENTS", "a bound must be a whole number");
            }
        }
        GearmanFunction function = server.find(words[1]);
        if (function == null) {
            return OK; // as published: a function that is not there has no queue to bound
        }
        for (int priority = 0; priority < limits.length; priority++) {
            function.queues.setLimit(priority, limits[priority]);
        }
        return OK;
    }

    private String create(String[] words) {
        if (words.length != 3 || !words[1].equals("function")) {
            return incomplete();
        }
        GearmanFunction function = ClientSession.isValidName(words[2]) ? server.function(words[2], null) : null;
        if (function == null) {
            return error("CREATE_FUNCTION", words[2]);
        }
        function.pinned = true;
        return OK;
    }

    private String drop(String[] words) {
        if (words.length != 3 || !words[1].equals("function")) {
            return incomplete();
        }
        GearmanFunction function = server.find(words[2]);
        if (function == null) {
            return "ERR function not found\n";
        }
        if (!function.unused()) { // and it stays, also once they have gone
            return "ERR there are still connected workers or executing clients\n";
        }
        server.forget(function);
        return OK;
    }

    private String show(String[] words) {
        if (words.length == 2 && words[1].equals("jobs")) {
            StringBuilder lines = new StringBuilder();
            for (GearmanJob job : server.jobs.all()) { // handle, retries, ignored, waiting
                lines.append(job.handle())
                        .append("\t0\t0\t")
                        .append(job.running() ? 0 : 1)
                        .append('\n');
            }
            return lines.append(END).toString();
        }
        if (words.length == 3 && words[1].equals("unique") && words[2].equals("jobs")) {
            StringBuilder lines = new StringBuilder();
            for (GearmanJob job : server.jobs.all()) {
                if (!job.unique.isEmpty()) {
                    lines.append(job.unique).append('\n');
                }
            }
            return lines.append(END).toString();
        }
        return error("UNKNOWN_SHOW_ARGUMENTS", "jobs, or unique jobs");
    }

    /** Only what has not begun: what runs may have had its effect already. */
    private String cancel(String[] words) {
        if (words.length != 3 || !words[1].equals("job")) {
            return incomplete();
        }
        GearmanJob job = server.jobs.byHandle(words[2]);
        if (job == null) {
            return error("UNKNOWN_JOB", words[2]);
        }
        if (job.running()) {
            return error("JOB_RUNNING", "a worker holds it");
        }
        server.cancel(job);
        return OK;
    }

    private String drain(String[] words, boolean drain) {
        if (words.length != 2) {
            return incomplete();
        }
        server.drain(words[1], drain);
        return OK;
    }

    private String shutdown(String[] words) {
        if (words.length > 2 || words.length == 2 && !words[1].equals("graceful")) {
            return error("INVALID_ARGUMENTS", "nothing, or graceful");
        }
        if (!server.config.turns().adminShutdown()) {
            return error("NOT_ALLOWED", "admin_shutdown is false here");
        }
        server.shutDown(words.length == 2);
        return OK;
    }
}
