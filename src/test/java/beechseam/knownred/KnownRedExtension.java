package beechseam.knownred;

import java.lang.reflect.Method;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.ExtensionContext.Namespace;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests of {@link KnownRedList} like all others. A failure of a listed test is printed with its cause
 * and reported as an aborted test, so that the build continues. If no invocation of a listed test fails, its
 * class fails, as the test must be removed from the list.
 */
public final class KnownRedExtension implements InvocationInterceptor, AfterAllCallback {
    /** Configuration parameter for the path of a list that replaces {@link KnownRedList#FILE}. */
    static final String FILE_PARAMETER = "beechseam.knownred.file";

    private static final Namespace NAMESPACE = Namespace.create(KnownRedExtension.class);

    /** For each listed test that ran in a class, whether any invocation has failed. */
    private static final class Outcomes {
        private final Map<String, Boolean> failed = new ConcurrentHashMap<>();
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        run(invocation, method.getExecutable(), context);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        run(invocation, method.getExecutable(), context);
    }

    private static void run(Invocation<Void> invocation, Method method, ExtensionContext context) throws Throwable {
        KnownRedList.Entry entry = list(context).find(method).orElse(null);
        if (entry == null) {
            invocation.proceed();
            return;
        }
        Outcomes outcomes = outcomes(context);
        try {
            invocation.proceed();
            outcomes.failed.putIfAbsent(entry.test(), false);
        } catch (Throwable failure) { // includes AssertionError
            outcomes.failed.put(entry.test(), true);
            String text = "known red: " + entry.test() + ": " + entry.cause() + " (" + entry.issue() + ")";
            System.out.println(text + ": " + failure);
            throw new TestAbortedException(text, failure);
        }
    }

    @Override
    public void afterAll(ExtensionContext context) {
        Map<String, Boolean> failed = outcomes(context).failed;
        List<String> passing = failed.keySet().stream()
                .filter(test -> !failed.get(test))
                .sorted()
                .toList();
        if (!passing.isEmpty()) {
            throw new AssertionError("remove the tests that pass from the list of known failures: " + passing);
        }
    }

    private static Outcomes outcomes(ExtensionContext context) {
        Class<?> testClass = context.getRequiredTestClass();
        return context.getRoot()
                .getStore(NAMESPACE)
                .getOrComputeIfAbsent(testClass, ignored -> new Outcomes(), Outcomes.class);
    }

    private static KnownRedList list(ExtensionContext context) {
        Path file = context.getConfigurationParameter(FILE_PARAMETER, Path::of).orElse(KnownRedList.FILE);
        return context.getRoot()
                .getStore(NAMESPACE)
                .getOrComputeIfAbsent(file, ignored -> KnownRedList.read(file), KnownRedList.class);
    }
}
