#include "store/remote_platform.h"

#include "base/util.h"

struct platform *remote_platform_new(const struct platform_class *class,
				     const struct platform_spec *spec)
{
	struct remote_platform *p;
	char *host = NULL;
	uint16_t port;

	if (!util_parse_endpoint(spec->address, &host, &port)) {
		status_fail(STATUS_INVALID,
			    "bad platform address %s, expected IP:PORT",
			    spec->address);
		return NULL;
	}
	g_free(host);
	p = g_new0(struct remote_platform, 1);
	p->base.class = class;
	p->sender = call_sender_new(spec);
	return &p->base;
}

void remote_platform_send(struct platform *base,
			  const struct platform_call_spec *spec)
{
	call_sender_send(((struct remote_platform *)base)->sender, spec);
}

void remote_platform_forget(struct platform *base, const void *data)
{
	call_sender_forget(((struct remote_platform *)base)->sender, data);
}

void remote_platform_free(struct platform *base)
{
	struct remote_platform *p = (struct remote_platform *)base;

	call_sender_free(p->sender);
	g_free(p);
}
