/**
 * Formats a network address.
 * @param host - IP address
 * @param port - port
 * @returns `host:port`, with brackets around an IPv6 address
 */
export function hostPort(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

const MAX_PORT = 65_535;
const MAX_IPV4_OCTET = 255;
const HOST_PORT = /^(\[[\da-f:.]+\]|[\w.-]+):(\d{1,5})$/i;
const IPV4 = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})$/;

/**
 * Returns whether a text is a network address to which one can connect.
 * @param text - the text, `host:port`
 */
export function isHostPort(text: string): boolean {
  const port = Number(HOST_PORT.exec(text)?.[2]);
  return port >= 1 && port <= MAX_PORT;
}

/**
 * Returns whether a text is an IPv4 address with a port.
 * @param text - the text, `a.b.c.d:port`
 */
export function isIpv4Port(text: string): boolean {
  const octets = IPV4.exec(text.slice(0, text.lastIndexOf(':')))?.slice(1);
  const isIpv4 = octets?.every(octet => Number(octet) <= MAX_IPV4_OCTET);
  return isIpv4 === true && isHostPort(text);
}
