import beechseam.library.Balancer;
import beechseam.library.JobType;
import beechseam.library.Target;
import beechseam.spring.BalancedCalls;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.springframework.http.client.ClientHttpResponse;
import org.springframework.http.client.SimpleClientHttpRequestFactory;
import org.springframework.web.client.RestClient;

/**
 * An application that asks for the balance of a company, first by a plain call to the first server and then by calls that
 * the library balances. The arguments are the company and the ports of the servers.
 */
final class SpringHost {
    private static final String PATH = "/balance?company={company}&currency=AUD";

    private SpringHost() {}

    public static void main(String[] args) {
        List<Target> targets = new ArrayList<>();
        for (int i = 1; i < args.length; i++) {
            targets.add(Target.of("127.0.0.1:" + args[i]));
        }
        RestClient plain = RestClient.builder()
                .requestFactory(new SimpleClientHttpRequestFactory())
                .baseUrl("http://127.0.0.1:" + args[1])
                .build();
        System.out.println("plain " + ask(plain, args[0]));
        Balancer<BalancedCalls.Call, ClientHttpResponse> balancer = Balancer.builder(BalancedCalls.sender())
                .type(JobType.of("balance", Duration.ofSeconds(5)).idempotent())
                .targets(targets)
                .build();
        RestClient balanced = RestClient.builder()
                .requestFactory(new SimpleClientHttpRequestFactory())
                .baseUrl("http://accounts")
                .requestInterceptor(new BalancedCalls(balancer, request -> "balance"))
                .build();
        for (int i = 0; i < 4; i++) {
            System.out.println("balanced " + ask(balanced, args[0]));
        }
        balancer.close(Duration.ofSeconds(5));
    }

    private static String ask(RestClient client, String company) {
        return client.get().uri(PATH, company).retrieve().body(String.class);
    }
}
