/**
 * Formats a network address.
 * @param host - IP address
 * @param port - port
 * @returns `host:port`, with brackets around an IPv6 address
 */
export function hostPort(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
