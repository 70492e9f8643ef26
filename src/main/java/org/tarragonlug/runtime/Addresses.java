package org.tarragonlug.runtime;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Text form of addresses in settings and on the command line: an IP number and a port. */
public final class Addresses {
    private static final Pattern ADDRESS_PATTERN =
            Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");
    private static final int MAXIMUM_PORT = 65535;

    private Addresses() {}

    /**
     * Parses an address without asking a name service.
     *
     * @param text such as {@code 10.0.0.1:8080} or {@code [::1]:8080}
     * @return the address; empty if the text is no address
     */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = ADDRESS_PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        byte[] number = NetUtil.createByteArrayFromIpAddressString(matcher.group(1));
        int port = Integer.parseInt(matcher.group(2));
        if (number == null || port > MAXIMUM_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(number), port));
        } catch (UnknownHostException impossible) {
            throw new IllegalStateException("an IP number of invalid length", impossible);
        }
    }
}
