#include "options/settings.h"

/*
 * The embedded default deployment: both tenants' services at their current
 * sizes, three entry instances and the platform stand-in, all on loopback.
 */
const char settings_default_ini[] =
	"[platform]\n"
	"listen = 127.0.0.1:7000\n"
	"append_limit_per_s = 300\n"
	"\n"
	"[entry]\n"
	"platform = 127.0.0.1:7000\n"
	"policy = load\n"
	"\n"
	"[entry.e1]\nlisten = 127.0.0.1:7101\ndc = hala-cluj\n\n"
	"[entry.e2]\nlisten = 127.0.0.1:7102\ndc = hala-sibiu\n\n"
	"[entry.e3]\nlisten = 127.0.0.1:7103\ndc = gt-central-a\n\n"
	"[service.harta]\ntenant = strada\nworkers = 8\nslots = 2\n"
	"connections = 220\nbase_port = 7300\nwork_ms = 3\n"
	"dcs = hala-cluj,hala-sibiu,hala-brasov,hala-targu\n\n"
	"[service.rezervari]\ntenant = strada\nworkers = 8\nslots = 2\n"
	"connections = 220\nbase_port = 7320\nwork_ms = 5\nprotected = true\n"
	"dcs = hala-cluj,hala-sibiu,hala-brasov,hala-targu\n\n"
	"[service.avize]\ntenant = strada\nworkers = 12\nslots = 2\n"
	"connections = 220\nbase_port = 7340\nwork_ms = 3\n"
	"dcs = hala-cluj,hala-sibiu,hala-brasov,hala-targu\n\n"
	"[service.calendario]\ntenant = semillero\nworkers = 9\nslots = 4\n"
	"connections = 240\nbase_port = 7360\nwork_ms = 3\n"
	"dcs = gt-central-a,gt-central-b,gt-central-c\n\n"
	"[service.becas-pagos]\ntenant = semillero\nworkers = 6\nslots = 4\n"
	"connections = 240\nbase_port = 7380\nwork_ms = 6\nprotected = true\n"
	"hangs = true\n"
	"dcs = gt-central-a,gt-central-b,gt-central-c\n\n"
	"[service.enlace]\ntenant = semillero\nworkers = 16\nslots = 4\n"
	"connections = 240\nbase_port = 7400\nwork_ms = 3\n"
	"dcs = gt-central-a,gt-central-b,gt-central-c\n";
